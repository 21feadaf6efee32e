package switchgap.protocol.resp;

import java.util.List;

/**
 * What commands and replies depend on.
 *
 * @param requestClassNames names of the request classes on the wire, by index
 * @param reportsConcurrency whether replies to executions report the worker's concurrency
 */
public record RespProtocolSettings(List<String> requestClassNames, boolean reportsConcurrency) {}
