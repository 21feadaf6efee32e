/** HTTP/1.1 on Grizzly filter chains: a door that is asked and links that ask. Knows nothing of jobs or workers. */
package switchgap.net;
