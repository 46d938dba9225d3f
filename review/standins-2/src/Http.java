import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One HTTP/1.1 call on a connection of its own. */
final class Http {
    record Answer(int status, byte[] body, int retryAfterS) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {
    }

    /** Returns the answer, or null if none arrives within the timeout. */
    static Answer call(String address, String method, String path, Map<String, String> headers, byte[] body, int timeoutMs) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress to =
            new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        long deadline = System.nanoTime() + timeoutMs * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, timeoutMs);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) head.append("Host: ").append(address).append("\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0) head.append("Content-Type: application/json\r\n");
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            message.write(body);
            socket.getOutputStream().write(message.toByteArray());
            return read(socket, deadline);
        } catch (IOException e) {
            return null;
        }
    }

    private static Answer read(Socket socket, long deadline) throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            setTimeout(socket, deadline);
            int b = in.read();
            if (b < 0) return null;
            head.write(b);
            matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
        }
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        int status = Integer.parseInt(lines[0].split(" ")[1]);
        int length = 0;
        int retryAfterS = 0;
        for (String line : lines) {
            if (line.toLowerCase().startsWith("retry-after:")) retryAfterS = Integer.parseInt(line.substring(12).trim());
            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        }
        byte[] body = new byte[length];
        int read = 0;
        while (read < length) {
            setTimeout(socket, deadline);
            int count = in.read(body, read, length - read);
            if (count < 0) return null;
            read += count;
        }
        return new Answer(status, body, retryAfterS);
    }

    private static void setTimeout(Socket socket, long deadline) throws IOException {
        long left = (deadline - System.nanoTime()) / 1_000_000;
        if (left <= 0) throw new IOException("timeout");
        socket.setSoTimeout((int) left);
    }
}
