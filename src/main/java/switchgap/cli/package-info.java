/**
 * The command line: one class a command, each of which reads its options, calls one package and
 * turns the outcome into an exit code. Nothing depends on this package.
 */
package switchgap.cli;
