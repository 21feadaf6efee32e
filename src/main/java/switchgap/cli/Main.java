package switchgap.cli;

import java.io.BufferedInputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import switchgap.simhost.BadFrame;
import switchgap.simhost.Host;

/** The program's entry: one subcommand today, more when the gateway's programs come. */
public final class Main {
    private static final String USAGE = "usage: switchgap [--help | --version] simhost";

    private Main() { }

    public static void main(String[] args) {
        System.exit(run(args));
    }

    static int run(String[] args) {
        if (args.length == 1 && args[0].equals("--help")) {
            System.out.println(USAGE);
            System.out.println("  simhost   host router instances on the simulator's wire, on standard input and output");
            return 0;
        }
        if (args.length == 1 && args[0].equals("--version")) {
            String v = Main.class.getPackage().getImplementationVersion();
            System.out.println("switchgap " + (v == null ? "(not packaged)" : v));
            return 0;
        }
        if (args.length == 2 && args[0].equals("simhost") && args[1].equals("--help")) {
            System.out.println("usage: switchgap simhost < frames > replies");
            return 0;
        }
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println(USAGE);
            return 2;
        }
        try (var in = new BufferedInputStream(new FileInputStream(FileDescriptor.in), 1 << 16);
             var out = new FileOutputStream(FileDescriptor.out)) {
            new Host().serve(in, out);
            return 0;
        } catch (BadFrame e) {
            System.err.println("switchgap: bad frame: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("switchgap: " + e.getMessage());
            return 1;
        }
    }
}
