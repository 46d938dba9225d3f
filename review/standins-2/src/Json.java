import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(byte[] bytes) {
        try {
            return (Map<String, Object>) parse(new String(bytes, java.nio.charset.StandardCharsets.UTF_8));
        } catch (RuntimeException e) {
            return Map.of();
        }
    }

    static long number(Map<String, Object> map, String name, long other) {
        return map.get(name) instanceof Number number ? number.longValue() : other;
    }

    static String text(Map<String, Object> map, String name) {
        return map.get(name) instanceof String string ? string : "";
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object item : list) {
                out.append(comma);
                write(item, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (int i = 0; i < string.length(); i++) {
                char c = string.charAt(i);
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private void skip() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            skip();
            while (text.charAt(at) != '}') {
                String key = (String) value();
                skip();
                at++;
                map.put(key, value());
                skip();
                if (text.charAt(at) == ',') at++;
                skip();
            }
            at++;
            return map;
        }
        if (c == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            skip();
            while (text.charAt(at) != ']') {
                list.add(value());
                skip();
                if (text.charAt(at) == ',') at++;
                skip();
            }
            at++;
            return list;
        }
        if (c == '"') {
            at++;
            StringBuilder out = new StringBuilder();
            while (text.charAt(at) != '"') {
                char d = text.charAt(at++);
                if (d == '\\') {
                    char e = text.charAt(at++);
                    switch (e) {
                        case 'n' -> out.append('\n');
                        case 't' -> out.append('\t');
                        case 'r' -> out.append('\r');
                        case 'b' -> out.append('\b');
                        case 'f' -> out.append('\f');
                        case 'u' -> {
                            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                            at += 4;
                        }
                        default -> out.append(e);
                    }
                } else {
                    out.append(d);
                }
            }
            at++;
            return out.toString();
        }
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0 && text.charAt(at) > ' ') at++;
        String word = text.substring(start, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.contains(".") || word.contains("e") || word.contains("E")) return Double.valueOf(word);
        return Long.valueOf(word);
    }
}
