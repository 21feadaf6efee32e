/** The workers' side of the platform: RESP arrays over few multiplexed connections. Codec pure; the pool holds no policy. */
package switchgap.protocol.resp;
