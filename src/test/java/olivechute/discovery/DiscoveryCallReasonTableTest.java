package olivechute.discovery;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import olivechute.discovery.DiscoveryCallException.Reason;
import olivechute.error.Runbook;
import org.testng.annotations.Test;

/** The runbook's table of failed calls to discovery must match the reasons in the code. */
public class DiscoveryCallReasonTableTest {
    @Test
    public void runbookTableMatchesTheReasons() throws IOException {
        List<String> expectedRows = Arrays.stream(Reason.values())
                .map(reason -> "| `" + reason + "` | " + reason.cause() + " | " + reason.remedy() + " |")
                .toList();
        assertEquals(Runbook.rowsOf("Discovery"), expectedRows);
    }
}
