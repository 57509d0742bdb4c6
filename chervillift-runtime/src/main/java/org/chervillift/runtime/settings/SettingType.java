package org.chervillift.runtime.settings;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** The type of a setting: what is allowed, and how it is read. */
public sealed interface SettingType {

    /** Returns what is allowed, in words for operators. */
    default String allowed() {
        return switch (this) {
            case Text t -> "any text that is not blank";
            case WholeNumber n -> "a whole number from " + n.least() + " to " + n.most();
            case Decimal d -> "a number from " + d.least() + " to " + d.most();
            case Millis m ->
                    "a whole number of milliseconds from "
                            + m.least().toMillis()
                            + " to "
                            + m.most().toMillis();
            case MillisOrNone m ->
                    "a whole number of milliseconds from 0 to "
                            + m.most().toMillis()
                            + ", or nothing for 0";
            case Seconds d ->
                    "a number of seconds from "
                            + d.least().toSeconds()
                            + " to "
                            + d.most().toSeconds();
            case Address a -> "an IP number and a port, as 192.0.2.1:8080";
            case AddressList a -> "IP numbers with ports, with commas between them";
            case Choice c -> "one of " + String.join(", ", c.words());
        };
    }

    /**
     * Checks a value and returns it as an object of the type.
     *
     * @throws ChervilliftException with {@link ErrorCode#BAD_SETTING} if the value is not allowed
     */
    default Object parse(String value) {
        return switch (this) {
            case Text t -> requireText(value);
            case WholeNumber n -> parseNumber(value, n.least(), n.most());
            case Decimal d -> parseDecimal(value, d);
            case Millis m ->
                    Duration.ofMillis(
                            parseNumber(value, m.least().toMillis(), m.most().toMillis()));
            case MillisOrNone m ->
                    Duration.ofMillis(
                            value.isBlank() ? 0 : parseNumber(value, 0, m.most().toMillis()));
            case Seconds d -> parseSeconds(value, d);
            case Address a -> HostPort.parse(value);
            case AddressList a ->
                    value.isBlank()
                            ? List.of()
                            : List.of(value.split(",")).stream()
                                    .map(String::strip)
                                    .map(HostPort::parse)
                                    .toList();
            case Choice c -> parseChoice(value, c.words());
        };
    }

    private static String requireText(String value) {
        if (value.isBlank()) {
            throw new ChervilliftException(ErrorCode.BAD_SETTING, "The value is blank.");
        }
        return value;
    }

    private static long parseNumber(String value, long least, long most) {
        try {
            return Checks.inRange("value", Long.parseLong(value), least, most);
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(ErrorCode.BAD_SETTING, e.getMessage(), e);
        }
    }

    private static BigDecimal parseDecimal(String value, Decimal type) {
        try {
            BigDecimal number = new BigDecimal(value);
            boolean inRange =
                    number.compareTo(BigDecimal.valueOf(type.least())) >= 0
                            && number.compareTo(BigDecimal.valueOf(type.most())) <= 0;
            Checks.that(inRange, "The value must be " + type.allowed());
            return number;
        } catch (IllegalArgumentException e) {
            throw new ChervilliftException(ErrorCode.BAD_SETTING, e.getMessage(), e);
        }
    }

    private static Duration parseSeconds(String value, Seconds type) {
        try {
            long millis = new BigDecimal(value).movePointRight(3).longValueExact();
            return Duration.ofMillis(
                    Checks.inRange(
                            "value", millis, type.least().toMillis(), type.most().toMillis()));
        } catch (IllegalArgumentException | ArithmeticException e) {
            throw new ChervilliftException(ErrorCode.BAD_SETTING, e.getMessage(), e);
        }
    }

    private static String parseChoice(String value, List<String> words) {
        if (!words.contains(value)) {
            throw new ChervilliftException(ErrorCode.BAD_SETTING, value + " is not a choice.");
        }
        return value;
    }

    /** Any text that is not blank. */
    record Text() implements SettingType {}

    /**
     * A whole number in a closed range.
     *
     * @param least the least number allowed
     * @param most the greatest number allowed
     */
    record WholeNumber(long least, long most) implements SettingType {
        public WholeNumber {
            Checks.that(least <= most, "least must not exceed most");
        }
    }

    /**
     * A number in a closed range, which may have decimals.
     *
     * @param least the least number allowed
     * @param most the greatest number allowed
     */
    record Decimal(long least, long most) implements SettingType {
        public Decimal {
            Checks.that(least <= most, "least must not exceed most");
        }
    }

    /**
     * A duration, written in milliseconds.
     *
     * @param least the shortest duration allowed
     * @param most the longest duration allowed
     */
    record Millis(Duration least, Duration most) implements SettingType {
        public Millis {
            Checks.that(least.compareTo(most) <= 0, "least must not exceed most");
        }
    }

    /**
     * A duration, written in milliseconds; nothing stands for zero, as a template writes it that
     * names a value which the deployment does not have.
     *
     * @param most the longest duration allowed
     */
    record MillisOrNone(Duration most) implements SettingType {
        public MillisOrNone {
            Checks.that(!most.isNegative(), "most must not be negative");
        }
    }

    /**
     * A duration, written in seconds with at most three decimals.
     *
     * @param least the shortest duration allowed
     * @param most the longest duration allowed
     */
    record Seconds(Duration least, Duration most) implements SettingType {
        public Seconds {
            Checks.that(least.compareTo(most) <= 0, "least must not exceed most");
        }
    }

    /** An IP number and a port. */
    record Address() implements SettingType {}

    /** IP numbers with ports, with commas between them; may be empty. */
    record AddressList() implements SettingType {}

    /**
     * One of some words.
     *
     * @param words the words allowed
     */
    record Choice(List<String> words) implements SettingType {
        public Choice {
            words = List.copyOf(words);
        }
    }
}
