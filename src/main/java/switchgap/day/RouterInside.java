package switchgap.day;

import java.io.IOException;
import java.nio.file.Path;
import switchgap.gateway.Gateway;
import switchgap.gateway.GatewayPage;

/** A router inside this process. */
final class RouterInside implements RouterHost {
    private final Path page;
    private Gateway gateway;

    RouterInside(Path page) { this.page = page; }

    @Override public void start() throws IOException { gateway = new Gateway(GatewayPage.read(page)); }

    @Override public boolean runs() { return gateway != null; }

    @Override public void kill() {
        if (gateway != null) { gateway.close(); }
        gateway = null;
    }

    @Override public boolean pause(boolean is) { return false; }

    @Override public void stop() {
        if (gateway != null) { gateway.stop(); }
    }
}
