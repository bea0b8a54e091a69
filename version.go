package cranberryward

// Version is the version of the programs, set when they are built.
var Version = "development"
