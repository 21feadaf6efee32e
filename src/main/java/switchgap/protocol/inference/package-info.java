/** The worker side: the inference protocol on kept connections, and what a reply proves. */
package switchgap.protocol.inference;
