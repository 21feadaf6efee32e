package switchgap.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads a JSON text as maps, lists, strings, numbers, booleans and null; its depth is bounded. */
public final class JsonDocument {
    private static final int DEPTH = 32;
    private static final JsonFactory FACTORY = new JsonFactory();

    private JsonDocument() {}

    /** An object; anything else, or anything after it, is refused with its place. */
    public static Map<String, Object> parseObject(String text) throws IOException {
        try (JsonParser p = FACTORY.createParser(text)) {
            if (p.nextToken() != JsonToken.START_OBJECT) { throw new IOException("no object at its start"); }
            Map<String, Object> o = object(p, 0);
            if (p.nextToken() != null) {
                throw new IOException("more behind the object at " + p.currentLocation().offsetDescription());
            }
            return o;
        }
    }

    private static Map<String, Object> object(JsonParser p, int depth) throws IOException {
        Map<String, Object> o = new LinkedHashMap<>();
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            o.put(name, value(p, depth + 1));
        }
        return o;
    }

    private static Object value(JsonParser p, int depth) throws IOException {
        if (depth > DEPTH) { throw new IOException("nested deeper than " + DEPTH); }
        switch (p.currentToken()) {
            case START_OBJECT :
                return object(p, depth);
            case START_ARRAY :
                List<Object> all = new ArrayList<>();
                while (p.nextToken() != JsonToken.END_ARRAY) { all.add(value(p, depth + 1)); }
                return all;
            case VALUE_NUMBER_INT :
            case VALUE_NUMBER_FLOAT :
                return p.getNumberValue();
            case VALUE_TRUE :
            case VALUE_FALSE :
                return p.getBooleanValue();
            case VALUE_NULL :
                return null;
            default :
                return p.getText();
        }
    }

    /** Values by path: plain lists joined by commas, lists of objects as {@code .count}, {@code .0} and so on. */
    public static Map<String, String> flatten(Map<String, Object> o) {
        Map<String, String> all = new java.util.HashMap<>();
        o.forEach((k, v) -> put(all, k, v));
        return all;
    }

    private static void put(Map<String, String> all, String path, Object v) {
        if (v instanceof Map<?, ?> m) {
            m.forEach((k, x) -> put(all, path + "." + k, x));
        } else if (v instanceof List<?> l
            && l.stream().anyMatch(x -> x instanceof Map || x instanceof List)) {
            all.put(path + ".count", String.valueOf(l.size()));
            for (int i = 0; i < l.size(); i++) { put(all, path + "." + i, l.get(i)); }
        } else if (v instanceof List<?> l) {
            all.put(path, String.join(",", l.stream().map(String::valueOf).toList()));
        } else if (v != null) {
            all.put(path, v.toString());
        }
    }
}
