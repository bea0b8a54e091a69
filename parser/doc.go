// Package parser reads the operators' sheet as spreadsheets export it and reports every fault at once.
package parser
