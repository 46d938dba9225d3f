import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Record of what was sent, answered and run, with the time since the start in ms. */
final class Record implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;
    private final List<String> broken = new ArrayList<>();

    Record(Path path) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(path));
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void note(String format, Object... values) {
        out.printf("%7d  %s%n", now(), values.length == 0 ? format : String.format(format, values));
        out.flush();
    }

    /** Records that a rule was broken. */
    synchronized void broken(String format, Object... values) {
        String text = String.format(format, values);
        broken.add(text);
        note("BROKEN %s", text);
    }

    synchronized List<String> broken() {
        return List.copyOf(broken);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
