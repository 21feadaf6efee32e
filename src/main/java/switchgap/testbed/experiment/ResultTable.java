package switchgap.testbed.experiment;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.Channels;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.BigIntVector;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float8Vector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileWriter;
import org.apache.arrow.vector.types.FloatingPointPrecision;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.apache.arrow.vector.types.pojo.Field;
import org.apache.arrow.vector.types.pojo.FieldType;
import org.apache.arrow.vector.types.pojo.Schema;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/**
 * A table of results, written as it grows: {@code STEM.csv}, and {@code STEM.arrow} in the Arrow
 * file format, in batches of {@value #BATCH} rows. One thread.
 */
final class ResultTable implements AutoCloseable {
  private static final int BATCH = 8192;
  private static final long MAX_BUFFER_BYTES = 256L << 20;
  private final List<ResultColumn> columns;
  private final CSVPrinter csv;
  private final OutputStream file;
  private final BufferAllocator memory = new RootAllocator(MAX_BUFFER_BYTES);
  private final VectorSchemaRoot root;
  private final ArrowFileWriter arrow;
  private int row;

  ResultTable(Path stem, List<ResultColumn> columns) throws IOException {
    this.columns = List.copyOf(columns);
    csv =
        new CSVPrinter(
            Files.newBufferedWriter(withSuffix(stem, ".csv")),
            CSVFormat.DEFAULT
                .builder()
                .setRecordSeparator('\n')
                .setHeader(columns.stream().map(ResultColumn::name).toArray(String[]::new))
                .get());
    List<Field> fields = new ArrayList<>();
    columns.forEach(column -> fields.add(arrowField(column)));
    root = VectorSchemaRoot.create(new Schema(fields), memory);
    file = new BufferedOutputStream(Files.newOutputStream(withSuffix(stem, ".arrow")));
    arrow = new ArrowFileWriter(root, null, Channels.newChannel(file));
    arrow.start();
  }

  private static Path withSuffix(Path stem, String suffix) {
    return stem.resolveSibling(stem.getFileName() + suffix);
  }

  private static Field arrowField(ResultColumn column) {
    ArrowType type =
        switch (column.type()) {
          case TEXT -> ArrowType.Utf8.INSTANCE;
          case INTEGER -> new ArrowType.Int(Long.SIZE, true);
          case REAL -> new ArrowType.FloatingPoint(FloatingPointPrecision.DOUBLE);
        };
    return new Field(column.name(), FieldType.notNullable(type), null);
  }

  /** Adds a row: a value for each column, a string or a number by its type. */
  void row(Object... values) throws IOException {
    if (values.length != columns.size()) {
      throw new IllegalArgumentException(
          values.length + " values for " + columns.size() + " columns");
    }
    csv.printRecord(values);
    for (int i = 0; i < values.length; i++) {
      FieldVector vector = root.getVector(i);
      if (vector instanceof VarCharVector textVector) {
        textVector.setSafe(row, ((String) values[i]).getBytes(StandardCharsets.UTF_8));
      } else if (vector instanceof BigIntVector integerVector) {
        integerVector.setSafe(row, ((Number) values[i]).longValue());
      } else {
        ((Float8Vector) vector).setSafe(row, ((Number) values[i]).doubleValue());
      }
    }
    if (++row == BATCH) {
      writeBatch();
    }
  }

  private void writeBatch() throws IOException {
    root.setRowCount(row);
    arrow.writeBatch();
    root.clear();
    root.allocateNew();
    row = 0;
  }

  @Override
  public void close() throws IOException {
    try (csv;
        memory;
        root;
        file;
        arrow) {
      if (row > 0) {
        writeBatch();
      }
      arrow.end();
    }
  }
}
