package org.chervillift.bench.internal;

import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import org.chervillift.api.Sha256;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.runtime.settings.HostPort;

/** Settings of daemons that run inside a measurement. */
public final class BenchSettings {

    private BenchSettings() {}

    /** Returns the settings of a daemon with defaults but for its addresses. */
    public static DaemonSettings daemon(HostPort callers, HostPort control, HostPort platform) {
        String text =
                """
                [vm]
                id = entry-1
                data-centre = dc
                [callers]
                address = %s
                [control]
                address = %s
                operators = bench:%s
                [platform]
                address = %s
                """
                        .formatted(callers, control, Sha256.hex("bench"), platform);
        try {
            return DaemonSettings.from(
                    DaemonSettings.SCHEMA.read("bench.ini", new StringReader(text)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
