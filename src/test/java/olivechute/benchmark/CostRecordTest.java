package olivechute.benchmark;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import olivechute.benchmark.Counts.Count;
import org.testng.annotations.Test;

/** Tests the comparison with recorded counts: which increases pass, and how a failure names the count. */
public class CostRecordTest {
    private static Counts counts(Count raised, double by) {
        double[] values = new double[Count.values().length];
        Arrays.fill(values, 100);
        values[raised.ordinal()] += by;
        return new Counts(values);
    }

    private static CostRecord recorded(Scenario scenario) {
        return new CostRecord(Map.of(scenario, counts(Count.BYTES, 0)));
    }

    @Test
    public void eachCountOverItsMarginIsNamed() {
        for (Scenario scenario : Scenario.values()) {
            for (Count c : Count.values()) {
                double most = c.bound(scenario, 100) - 100;
                assertEquals(recorded(scenario).violations(scenario, counts(c, most)), List.of(), c.key());
                List<String> grown = recorded(scenario).violations(scenario, counts(c, most + 0.01));
                assertEquals(grown.size(), 1, c.key());
                String start = "cost " + scenario.key() + ": " + c.key() + " grew: recorded 100.00, seen ";
                assertEquals(grown.get(0).substring(0, start.length()), start);
            }
        }
    }

    /** Write calls and body copies are the same in every run: one more of either must fail. */
    @Test
    public void oneMoreCallOrCopyExceedsTheMargin() {
        for (Scenario scenario : Scenario.values()) {
            assertEquals(Count.WRITES.bound(scenario, 4) < 5, true);
            assertEquals(Count.BODY_COPIES.bound(scenario, 2) < 3, true);
        }
        assertEquals(Count.READS.bound(Scenario.BODY_1K, 4) < 5, true);
    }

    @Test
    public void aScenarioWithoutARecordFails() {
        assertEquals(
                recorded(Scenario.BODY_1K).violations(Scenario.SHED, counts(Count.BYTES, 0)),
                List.of("cost shed: nothing recorded; run cost --record"));
    }

    @Test
    public void aRecordIsReadAsWrittenAndItsErrorsNameTheKey() throws IOException {
        Path file = Files.createTempFile("record", ".json");
        CostRecord.write(file, Map.of(Scenario.REFUSED, counts(Count.DIALS, 1)));
        CostRecord read = CostRecord.read(file);
        assertEquals(read.counts().keySet(), java.util.Set.of(Scenario.REFUSED));
        assertEquals(read.counts().get(Scenario.REFUSED).get(Count.DIALS), 101.0);
        Files.writeString(file, Files.readString(file).replace("\"objects\" : 100.0", "\"objects\" : \"few\""));
        IOException wrong = expectThrows(IOException.class, () -> CostRecord.read(file));
        assertEquals(wrong.getMessage(), file + ": refused.objects: must be a number");
        Files.delete(file);
    }
}
