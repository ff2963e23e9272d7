// Package settings reads the INI file that configures a process of the system.
//
// A [Table] lists every key with its default, unit and meaning, and with the function that stores its value.
// [Table.Read] stores all values and reports every fault of the file at once. An unknown key, such as a misspelt one,
// is a fault that names the most similar known key. Package entry declares the table of a node.
package settings
