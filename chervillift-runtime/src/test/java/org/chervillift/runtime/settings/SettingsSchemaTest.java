package org.chervillift.runtime.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.io.StringReader;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsSchemaTest {

    private static final SettingsSchema SCHEMA =
            new SettingsSchema(
                    List.of(
                            Setting.required("net", "listen", new SettingType.Address(), "Port."),
                            Setting.optional(
                                    "net",
                                    "timeout-ms",
                                    new SettingType.Millis(
                                            Duration.ofMillis(1), Duration.ofMillis(500)),
                                    "100",
                                    "Time."),
                            Setting.optional(
                                    "net", "peers", new SettingType.AddressList(), "", "Peers.")));

    @Test
    void readsValuesAndDefaults() throws IOException {
        Settings settings =
                SCHEMA.read("f.ini", new StringReader("[net]\nlisten = 127.0.0.1:80\n"));

        assertThat(settings.address("net.listen")).isEqualTo(new HostPort("127.0.0.1", 80));
        assertThat(settings.duration("net.timeout-ms")).isEqualTo(Duration.ofMillis(100));
        assertThat(settings.addresses("net.peers")).isEmpty();
    }

    /** A template that had no value to fill in made a file that was refused. */
    @Test
    void aBlankValueStandsForTheDefault() throws IOException {
        String text = "[net]\nlisten = 127.0.0.1:80\ntimeout-ms =\n";
        Settings settings = SCHEMA.read("f.ini", new StringReader(text));
        assertThat(settings.duration("net.timeout-ms")).isEqualTo(Duration.ofMillis(100));
    }

    @Test
    void reportsEveryErrorAtOnce() {
        String text = "[net]\ntimeout-ms = 501\ncolour = red\n[extra]\nx = 1\n";

        SettingsException e =
                catchThrowableOfType(
                        SettingsException.class,
                        () -> SCHEMA.read("f.ini", new StringReader(text)));

        assertThat(e.lines())
                .containsExactlyInAnyOrder(
                        "f.ini: [net] listen = : It is missing. Allowed: an IP number and a port,"
                                + " as 192.0.2.1:8080.",
                        "f.ini: [net] timeout-ms = 501: The value is not allowed. Allowed: a whole"
                                + " number of milliseconds from 1 to 500.",
                        "f.ini: [net] colour = red: There is no such setting. Allowed: listen,"
                                + " timeout-ms, peers.",
                        "f.ini: [extra] x = 1: There is no such setting. Allowed: no such"
                                + " section.");
    }

    @Test
    void refusesHostNames() {
        SettingsException e =
                catchThrowableOfType(
                        SettingsException.class,
                        () -> SCHEMA.read("f.ini", new StringReader("[net]\nlisten = host:80\n")));

        assertThat(e.lines()).hasSize(1);
    }
}
