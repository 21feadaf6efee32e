/** The list of workers: its lines, and a held request that follows its versions. */
package switchgap.list;
