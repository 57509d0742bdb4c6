package org.chervillift.runtime.events;

import org.chervillift.api.Checks;

/**
 * One named value of an event.
 *
 * @param name the name, one word in lower case
 * @param value the value
 */
public record Field(String name, String value) {

    public Field {
        Checks.notBlank("name", name);
        value = String.valueOf(value);
    }

    /** Returns a field with the text of any value. */
    public static Field of(String name, Object value) {
        return new Field(name, String.valueOf(value));
    }

    @Override
    public String toString() {
        boolean plain = !value.isEmpty() && value.chars().allMatch(Field::isPlain);
        return name + "=" + (plain ? value : quoted());
    }

    private static boolean isPlain(int c) {
        return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
    }

    private String quoted() {
        StringBuilder text = new StringBuilder("\"");
        value.codePoints().forEach(c -> appendEscaped(text, c));
        return text.append('"').toString();
    }

    private static void appendEscaped(StringBuilder text, int c) {
        switch (c) {
            case '"' -> text.append("\\\"");
            case '\\' -> text.append("\\\\");
            case '\n' -> text.append("\\n");
            case '\r' -> text.append("\\r");
            default -> {
                if (Character.isISOControl(c)) {
                    text.append("\\u%04x".formatted(c));
                } else {
                    text.appendCodePoint(c);
                }
            }
        }
    }
}
