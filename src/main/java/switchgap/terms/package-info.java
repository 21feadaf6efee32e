/** Pages in YAML, read with the line of each mistake, and the terms of a router that such a page states. */
package switchgap.terms;
