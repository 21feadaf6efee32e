package switchgap.config;

import java.util.ArrayList;
import java.util.List;

/**
 * The section {@code kinds}: the kinds of worker, in the order of the document.
 *
 * @param memoryMb memory of a worker of each kind, in MB
 */
record WorkerKindsSection(List<String> names, double[] memoryMb) {
  private static final double MAX_MEMORY_MB = 1e9;

  static WorkerKindsSection read(YamlDocument section) {
    List<String> names = new ArrayList<>(section.keys());
    double[] memoryMb = new double[names.size()];
    for (int i = 0; i < memoryMb.length; i++) {
      YamlDocument kind = section.section(names.get(i));
      memoryMb[i] = kind.number("memory", 0, MAX_MEMORY_MB);
      kind.rejectUnknownKeys();
    }
    return new WorkerKindsSection(names, memoryMb);
  }

  /** The index of the kind with this name; the number of configured kinds if there is none. */
  int index(String name) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }
}
