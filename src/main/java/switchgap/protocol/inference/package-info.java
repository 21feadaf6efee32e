/**
 * Exchanges with workers that speak the Open Inference Protocol (version 2 over HTTP): persistent
 * connections, and whether a response shows that a request was executed.
 */
package switchgap.protocol.inference;
