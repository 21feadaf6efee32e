package switchgap.testbed.scenario;

/**
 * The loopback address from which each router connects to its workers. By it the workers' log names
 * the sender of a request.
 */
final class RouterAddress {
  private static final int ROUTERS_PER_SUBNET = 250;
  private static final int ADDRESS_OCTETS = 4;
  private static final int UNKNOWN_ROUTER = -1;

  private RouterAddress() {}

  /** The address of a router. */
  static String of(int router) {
    return "127.1." + (router / ROUTERS_PER_SUBNET) + "." + (router % ROUTERS_PER_SUBNET + 1);
  }

  /** The router of an address, -1 for another address. */
  static int routerOf(String address) {
    String[] octets = address.split("\\.");
    if (octets.length != ADDRESS_OCTETS || !octets[1].equals("1")) {
      return UNKNOWN_ROUTER;
    }
    return Integer.parseInt(octets[2]) * ROUTERS_PER_SUBNET + Integer.parseInt(octets[3]) - 1;
  }
}
