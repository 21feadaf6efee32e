/**
 * Exchanges with workers that speak the Open Inference Protocol (version 2 over HTTP): persistent
 * connections, and what a response proves about the execution of a request.
 */
package switchgap.protocol.inference;
