/**
 * Reduced service levels: which offered calls reach the module while there is more than the fleet can do. A module of
 * its own: no I/O, clock or threads; docs/levels.md.
 */
package switchgap.admission;
