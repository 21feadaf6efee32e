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
 * Writes a table of results row by row to {@code STEM.csv}, and in batches of {@value #BATCH_ROWS}
 * rows to {@code STEM.arrow} in the Arrow file format. Not thread-safe.
 */
final class ResultTable implements AutoCloseable {
  private static final int BATCH_ROWS = 8192;
  private static final long MAX_BUFFER_BYTES = 256L << 20;
  private final List<ResultColumn> columns;
  private final CSVPrinter csvPrinter;
  private final OutputStream arrowOutput;
  private final BufferAllocator allocator = new RootAllocator(MAX_BUFFER_BYTES);
  private final VectorSchemaRoot vectorRoot;
  private final ArrowFileWriter arrowWriter;
  private int rowsInBatch;

  ResultTable(Path stem, List<ResultColumn> columns) throws IOException {
    this.columns = List.copyOf(columns);
    csvPrinter =
        new CSVPrinter(
            Files.newBufferedWriter(withSuffix(stem, ".csv")),
            CSVFormat.DEFAULT
                .builder()
                .setRecordSeparator('\n')
                .setHeader(columns.stream().map(ResultColumn::name).toArray(String[]::new))
                .get());
    List<Field> fields = new ArrayList<>();
    columns.forEach(column -> fields.add(arrowField(column)));
    vectorRoot = VectorSchemaRoot.create(new Schema(fields), allocator);
    arrowOutput = new BufferedOutputStream(Files.newOutputStream(withSuffix(stem, ".arrow")));
    arrowWriter = new ArrowFileWriter(vectorRoot, null, Channels.newChannel(arrowOutput));
    arrowWriter.start();
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

  /** Adds a row with one value per column: a string for a text column, a number for the others. */
  void addRow(Object... values) throws IOException {
    if (values.length != columns.size()) {
      throw new IllegalArgumentException(
          values.length + " values for a table with " + columns.size() + " columns");
    }
    csvPrinter.printRecord(values);
    for (int i = 0; i < values.length; i++) {
      FieldVector vector = vectorRoot.getVector(i);
      if (vector instanceof VarCharVector textVector) {
        textVector.setSafe(rowsInBatch, ((String) values[i]).getBytes(StandardCharsets.UTF_8));
      } else if (vector instanceof BigIntVector integerVector) {
        integerVector.setSafe(rowsInBatch, ((Number) values[i]).longValue());
      } else {
        ((Float8Vector) vector).setSafe(rowsInBatch, ((Number) values[i]).doubleValue());
      }
    }
    if (++rowsInBatch == BATCH_ROWS) {
      writeBatch();
    }
  }

  private void writeBatch() throws IOException {
    vectorRoot.setRowCount(rowsInBatch);
    arrowWriter.writeBatch();
    vectorRoot.clear();
    vectorRoot.allocateNew();
    rowsInBatch = 0;
  }

  @Override
  public void close() throws IOException {
    try (csvPrinter;
        allocator;
        vectorRoot;
        arrowOutput;
        arrowWriter) {
      if (rowsInBatch > 0) {
        writeBatch();
      }
      arrowWriter.end();
    }
  }
}
