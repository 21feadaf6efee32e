package switchgap.protocol.resp;

import java.util.List;

/**
 * Settings that determine the content of commands and the interpretation of replies.
 *
 * @param requestClassNames names of the request classes on the wire, by index
 * @param reportsConcurrency whether replies to executions report the worker's concurrency
 */
public record RespProtocolSettings(List<String> requestClassNames, boolean reportsConcurrency) {}
