/** What the operators state in their own words at a router's start, read as terms: by the simulator's host and on the platform. */
package switchgap.stated;
