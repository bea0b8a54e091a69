package cranberryward

// Version is the version of the programs, set by the linker at build time.
var Version = "development"
