/** JSON texts as plain values, bounded. */
package switchgap.json;
