package switchgap.protocol.invoke;

import switchgap.router.RouterCore;

/** Attached to an exchange whose client waits for a response. */
interface DisconnectListener {
  /** The client closed its connection before the response; on the event loop. */
  void clientDisconnected(RouterCore core);
}
