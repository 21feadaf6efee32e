package switchgap.protocol.inference;

import java.util.List;

/**
 * The connection pools of one worker. Commands have a separate pool, since a load command occupies
 * its connection until loading has finished.
 */
record WorkerPools(HttpConnectionPool attempts, HttpConnectionPool commands) {
  List<HttpConnectionPool> all() {
    return List.of(attempts, commands);
  }
}
