package org.chervillift.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.promise.Promise;
import java.net.UnknownHostException;

/** Takes IP numbers where a client asks for a name, and refuses names. */
public final class IpNumberResolver implements IDnsClient {

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
        DnsResponse response = IDnsClient.resolveFromQuery(query);
        if (response == null) {
            return Promise.ofException(
                    new UnknownHostException(query.getDomainName() + " is not an IP number"));
        }
        return Promise.of(response);
    }

    @Override
    public void close() {
        // Holds nothing.
    }
}
