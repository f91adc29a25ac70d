// Package folder turns the operators' folder of small INI files into one
// checked configuration.
//
// Files are merged in the order of their names. A later file overrides an
// earlier key and can erase an earlier key or section, so that a new owner
// takes over by adding a file.
package folder
