/** The laboratory: measurements of the router beside a relay of the same filter chains, side by side in one run. */
package switchgap.experiment;
