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
 * The settings of the links between daemons.
 *
 * @param listen the address that peers connect to
 * @param seeds the addresses of some peers, dialled until the platform's VM list names all peers
 * @param secret the secret shared by all daemons of the fleet; "none" for a daemon without peers
 */
public record PeerSettings(HostPort listen, List<HostPort> seeds, String secret) {

    /** The settings and their allowed values. */
    public static final List<Setting> SCHEMA =
            List.of(
                    Setting.optional(
                            "peers",
                            "address",
                            new SettingType.Address(),
                            "127.0.0.1:0",
                            "The address that peers connect to."),
                    Setting.optional(
                            "peers",
                            "seeds",
                            new SettingType.AddressList(),
                            "",
                            "Some peers, dialled until the platform's VM list names all peers."),
                    Setting.optional(
                            "peers",
                            "secret",
                            new SettingType.Text(),
                            "none",
                            "The secret shared by all daemons of the fleet, at least 32"
                                    + " characters; none for a daemon without peers."));

    private static final String NO_PEERS = "none";

    public PeerSettings {
        Checks.notNull("listen", listen);
        seeds = List.copyOf(seeds);
        Checks.notBlank("secret", secret);
    }

    /** Creates the settings from validated values. */
    public static PeerSettings from(Settings s) {
        return new PeerSettings(
                s.address("peers.address"), s.addresses("peers.seeds"), s.text("peers.secret"));
    }

    /** Returns whether this daemon connects to peers. */
    public boolean hasPeers() {
        return !secret.equals(NO_PEERS);
    }

    /** Returns the seed addresses as strings. */
    public Set<String> seedAddresses() {
        Set<String> addresses = new TreeSet<>();
        seeds.forEach(s -> addresses.add(s.toString()));
        return addresses;
    }

    /** Omits the secret. */
    @Override
    public String toString() {
        return "PeerSettings[listen=" + listen + ", seeds=" + seeds + "]";
    }
}
