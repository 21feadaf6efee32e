package switchgap.testbed.scenario;

/**
 * Loopback addresses from which routers connect to workers. Each router has an address of its own,
 * by which the emulated workers identify the sender of a request in their log.
 */
final class RouterAddress {
  private static final int ROUTERS_PER_SUBNET = 250;
  private static final int ADDRESS_OCTETS = 4;
  private static final int UNKNOWN_ROUTER = -1;

  private RouterAddress() {}

  /** Address of the router with this index. */
  static String of(int router) {
    return "127.1." + (router / ROUTERS_PER_SUBNET) + "." + (router % ROUTERS_PER_SUBNET + 1);
  }

  /** Index of the router with this address, -1 if it is not the address of a router. */
  static int routerOf(String address) {
    String[] octets = address.split("\\.");
    if (octets.length != ADDRESS_OCTETS || !octets[1].equals("1")) {
      return UNKNOWN_ROUTER;
    }
    return Integer.parseInt(octets[2]) * ROUTERS_PER_SUBNET + Integer.parseInt(octets[3]) - 1;
  }
}
