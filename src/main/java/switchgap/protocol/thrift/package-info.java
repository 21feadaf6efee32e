/**
 * The client side of the platform: framed Apache Thrift, strict binary protocol. The codec ({@link
 * switchgap.protocol.thrift.ThriftMessageDecoder}, {@link
 * switchgap.protocol.thrift.ThriftResponseEncoder}) is free of sockets and clock; {@link
 * switchgap.protocol.thrift.ThriftServer} reads connections on selector threads, and {@link
 * switchgap.protocol.thrift.RequestHandler} handles messages on the router's event loop: {@link
 * switchgap.protocol.thrift.RequestAdmission} offers a submit to the core, {@link
 * switchgap.protocol.thrift.RequestResponder} answers it, {@link
 * switchgap.protocol.thrift.RequestCancellation} ends it early. No routing decision is made here.
 */
package switchgap.protocol.thrift;
