package olivechute.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the operator settings file: what is read from it, and the key that each error names. */
class OperatorFileTest {
    private static final String GOOD = """
        identity {
          enabled = true, trust_domain = "td", upstream = true
          source { folder = "/run/svid", poll = 250ms }
          downstream { mode = beside, listen = "127.0.0.1:7443" }
          clients = [ { id = "spiffe://td/c/**", tenants = [acme, bolt] }, { id = "spiffe://td/all", tenants = ["*"] } ]
          hosts = [ { host = "s-*", id = "spiffe://td/w/{host}" } ]
          jwt { audience = "node", proxies = ["spiffe://td/proxy"] }
        }
        """;

    @TempDir
    private Path dir;

    private final List<String> faults = new ArrayList<>();

    private IdentitySettings read(String text) throws Exception {
        Path file = Files.writeString(dir.resolve("olivechute.conf"), text);
        return OperatorSettingsFile.read(Map.of(OperatorSettingsFile.VARIABLE, file.toString()), faults);
    }

    @Test
    void allSettingsAreRead() throws Exception {
        IdentitySettings read = read(GOOD);
        assertEquals(List.of(), faults);
        assertEquals("td", read.trustDomain());
        assertEquals(250, read.source().pollInterval().toMillis());
        assertEquals(7443, read.downstream().tlsListen().getPort());
        assertEquals(2000, read.tls().downstreamHandshakeTimeout().toMillis());
        assertTrue(read.upstreamTls());
        assertEquals("node", read.rules().audience());
        assertEquals(1, read.rules().trustedProxies().size());
        assertEquals(
                "identities: required of clients at /127.0.0.1:7443 only; required of every sign worker; tokens for node",
                read.describe());
        assertEquals(List.of(), IdentitySettings.restartRequiredKeys(read, read(GOOD)));
        assertEquals(
                List.of("identity.source"),
                IdentitySettings.restartRequiredKeys(read, read(GOOD.replace("250ms", "300ms"))));
        assertEquals(List.of("identity.enabled"), IdentitySettings.restartRequiredKeys(null, read));
    }

    /** The shipped file has identities off, and is valid once they are turned on. */
    @Test
    void theShippedFileIsOffAndValidOnceTurnedOn() throws Exception {
        String shipped = Files.readString(Path.of("deploy/olivechute.conf"));
        assertNull(read(shipped));
        assertEquals(List.of(), faults);
        assertNotNull(read(shipped.replace("enabled = false", "enabled = true")
                .replace("mode = off", "mode = only")
                .replace("# folder = ", "folder = ")));
        assertEquals(List.of(), faults);
    }

    /** Each row is one change to a valid file, then the beginning and a part of the one error that it causes. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "trust_domain = \"td\"|trust_domain = \"TD\"|identity.trust_domain: must be a trust domain|line 2",
                "trust_domain = \"td\", |''|identity.trust_domain: missing|text",
                "upstream = true|upstream = perhaps|identity.upstream: must be true or false|line 2",
                "poll = 250ms|poll = 1|identity.source.poll: must be a duration with a unit|line 3",
                "poll = 250ms|poll = 1ms|identity.source.poll: must be from 50ms|3600000ms",
                "poll = 250ms|pol = 250ms|identity.source.pol: unknown key|did you mean poll?",
                "poll = 250ms|certificates = 1|identity.source.certificates: unknown key|known here: folder",
                "folder = \"/run/svid\"|kind = workload-api|identity.source.socket: missing|unix:PATH",
                "folder = \"/run/svid\"|socket = \"tcp://10.0.0.1:1\", folder = f|identity.source.socket: must be a Unix socket|loopback",
                "mode = beside|mode = both|identity.downstream.mode: must be one of off, only, beside|both",
                "mode = beside|mode = only|identity.downstream.listen: only mode = beside|line 4",
                "\"127.0.0.1:7443\"|\"localhost:7443\"|identity.downstream.listen: must be ADDRESS:PORT|localhost",
                "spiffe://td/c/**|spiffe://td/c**|identity.clients[0].id: * stands for|c**",
                "tenants = [acme, bolt]|tenants = []|identity.clients[0].tenants: must name tenants|alone",
                "tenants = [acme, bolt]|tenant = [acme]|identity.clients[0].tenants: missing|list",
                "s-*|s-*-x|identity.hosts[0].host: must be a name|star",
                "spiffe://td/w/{host}|spiffe://{host}/w|identity.hosts[0].id: a trust domain|name",
                "audience = \"node\", |''|identity.jwt.audience: missing|must be the audience of the tokens",
                "identity {|identty {|identty: unknown key|did you mean identity?",
                "identity {|include \"other.conf\", identity {|settings: |",
            })
    void eachErrorNamesItsKey(String from, String to, String begins, String part) throws Exception {
        assertTrue(GOOD.contains(from), from);
        read(GOOD.replace(from, to));
        assertTrue(
                faults.stream().anyMatch(f -> f.startsWith(begins) && (part == null || f.contains(part))),
                faults.toString());
    }

    @Test
    void aMissingFileIsReportedWithItsVariable() {
        OperatorSettingsFile.read(
                Map.of(OperatorSettingsFile.VARIABLE, dir.resolve("none").toString()), faults);
        assertTrue(faults.get(0).startsWith("OLIVECHUTE_SETTINGS: cannot read "), faults.toString());
    }
}
