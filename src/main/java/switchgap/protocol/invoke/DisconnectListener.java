package switchgap.protocol.invoke;

import switchgap.router.RouterCore;

/** Attached to an exchange while its client waits for a response. */
interface DisconnectListener {
  /** Called on the event loop when the client closed its connection before the response. */
  void clientDisconnected(RouterCore core);
}
