/**
 * The Thrift server for clients on the platform, which speaks framed Apache Thrift with the strict
 * binary protocol. The codec ({@link switchgap.protocol.thrift.ThriftMessageDecoder}, {@link
 * switchgap.protocol.thrift.ThriftResponseEncoder}) uses neither sockets nor a clock; {@link
 * switchgap.protocol.thrift.ThriftServer} reads connections on selector threads, and {@link
 * switchgap.protocol.thrift.RequestHandler} handles messages on the router's event loop: {@link
 * switchgap.protocol.thrift.RequestAdmission} offers a submit to the core, {@link
 * switchgap.protocol.thrift.RequestResponder} answers it, and {@link
 * switchgap.protocol.thrift.RequestCancellation} cancels it. Routing decisions are made by the
 * core, not in this package.
 */
package switchgap.protocol.thrift;
