/** The clients' side of the platform: framed Thrift, strict binary. The codec is pure; the door holds connections and no policy. */
package switchgap.protocol.thrift;
