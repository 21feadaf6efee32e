/** The command line. */
package switchgap.cli;
