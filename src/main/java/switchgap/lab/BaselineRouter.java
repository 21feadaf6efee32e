package switchgap.lab;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.gateway.Gateway;
import switchgap.gateway.GatewayPage;

/** A router under a textbook choice in place of the module. */
public final class BaselineRouter {
    private BaselineRouter() { }

    /** Serves as the page says; {@code choice} is random or turns. */
    public static Gateway start(Path page, String choice) throws IOException {
        GatewayPage p = GatewayPage.read(page);
        return new Gateway(p, new Baseline(p.terms(), choice.equals("turns"), p.seed()));
    }
}
