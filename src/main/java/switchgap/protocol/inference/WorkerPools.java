package switchgap.protocol.inference;

import java.util.List;

/**
 * The connections to one worker. A load command occupies its connection for as long as loading
 * takes, so commands have a pool of their own.
 */
record WorkerPools(HttpConnectionPool attempts, HttpConnectionPool commands) {
  List<HttpConnectionPool> all() {
    return List.of(attempts, commands);
  }
}
