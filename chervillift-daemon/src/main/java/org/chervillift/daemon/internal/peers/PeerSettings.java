package org.chervillift.daemon.internal.peers;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chervillift.api.Checks;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.settings.Setting;
import org.chervillift.runtime.settings.SettingType;
import org.chervillift.runtime.settings.Settings;

/**
 * How a daemon meets its peers.
 *
 * @param listen where peers dial this process
 * @param seeds some peers, dialled until the platform's list names all
 * @param secret the secret that all daemons of the fleet share; blank for a daemon without peers
 */
public record PeerSettings(HostPort listen, List<HostPort> seeds, String secret) {

    /** The settings, with what is allowed. */
    public static final List<Setting> SCHEMA =
            List.of(
                    Setting.optional(
                            "peers",
                            "address",
                            new SettingType.Address(),
                            "127.0.0.1:0",
                            "Where peers dial this process."),
                    Setting.optional(
                            "peers",
                            "seeds",
                            new SettingType.AddressList(),
                            "",
                            "Some peers, dialled until the platform's list names all."),
                    Setting.optional(
                            "peers",
                            "secret",
                            new SettingType.Text(),
                            "none",
                            "The secret that all daemons of the fleet share, at least 32"
                                    + " characters; none for a daemon without peers."));

    private static final String NO_PEERS = "none";

    public PeerSettings {
        Checks.notNull("listen", listen);
        seeds = List.copyOf(seeds);
        Checks.notBlank("secret", secret);
    }

    /** Returns the settings from checked values. */
    public static PeerSettings from(Settings s) {
        return new PeerSettings(
                s.address("peers.address"), s.addresses("peers.seeds"), s.text("peers.secret"));
    }

    /** Returns whether this daemon has peers at all. */
    public boolean hasPeers() {
        return !secret.equals(NO_PEERS);
    }

    /** Returns the seeds as texts. */
    public Set<String> seedAddresses() {
        Set<String> texts = new TreeSet<>();
        seeds.forEach(s -> texts.add(s.toString()));
        return texts;
    }

    @Override
    public String toString() {
        return "PeerSettings[listen=" + listen + ", seeds=" + seeds + "]";
    }
}
