import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers (as Double) and booleans. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object read(String text) {
    return new Json(text).value();
  }

  static String quote(String s) {
    return "\"" + s.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private char next() {
    while (Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      while (next() != '}') {
        String key = string();
        next();
        at++;
        map.put(key, value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      while (next() != ']') {
        list.add(value());
        if (next() == ',') {
          at++;
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    int from = at;
    while (at < text.length() && ",]} \n".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    return switch (word) {
      case "true" -> Boolean.TRUE;
      case "false" -> Boolean.FALSE;
      case "null" -> "";
      default -> Double.valueOf(word);
    };
  }

  private String string() {
    next();
    StringBuilder s = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      if (text.charAt(at) == '\\') {
        at++;
      }
      s.append(text.charAt(at));
    }
    at++;
    return s.toString();
  }
}
