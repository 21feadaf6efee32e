package switchgap.experiment;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.server.gateway.GatewayConfig;
import switchgap.server.gateway.GatewayRouter;

/** A router under a textbook choice in place of the module. */
public final class BaselineRouter {
    private BaselineRouter() {}

    /** Serves as the page says; {@code choice} is random or turns. */
    public static GatewayRouter start(Path page, String choice) throws IOException {
        GatewayConfig p = GatewayConfig.read(page);
        return new GatewayRouter(p, new BaselinePolicy(p.terms(), choice.equals("turns"), p.seed()));
    }
}
