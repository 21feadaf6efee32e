/**
 * The command line. Each command is a class that reads its options, calls one other package and
 * returns an exit code. No other package depends on this one.
 */
package switchgap.cli;
