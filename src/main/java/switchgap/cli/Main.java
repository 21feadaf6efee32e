package switchgap.cli;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import switchgap.simulator.MalformedFrameException;
import switchgap.simulator.SimulatorHost;

/** The program's entry. The simulator's host and the platform's router start before libraries that they don't need. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length == 1 && args[0].equals("simhost")) {
            System.exit(simhost());
        }
        if (args.length == 1 && args[0].equals("serve")) {
            Runtime.getRuntime().halt(switchgap.server.platform.ServeCommand.run()); // all is answered by now: nothing is left to hook
        }
        System.exit(Commands.run(args));
    }

    static int simhost() {
        try (var in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
            var out = new FileOutputStream(FileDescriptor.out)) {
            new SimulatorHost().serve(in, out);
            return 0;
        } catch (MalformedFrameException e) {
            System.err.println("switchgap: bad frame: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("switchgap: " + e.getMessage());
            return 1;
        }
    }
}
