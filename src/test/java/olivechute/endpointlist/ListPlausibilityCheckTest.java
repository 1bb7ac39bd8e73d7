package olivechute.endpointlist;

import static org.testng.Assert.assertEquals;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ListPlausibilityCheckTest {
    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {Set.of("a", "b", "c", "d"), Set.of(), true},
            {Set.of("a", "b", "c", "d"), Set.of("x", "y", "z", "v"), true},
            {Set.of("a", "b", "c", "d"), Set.of("a"), true},
            {Set.of("a", "b", "c", "d"), Set.of("a", "b"), false},
            {Set.of("a", "b", "c"), Set.of("a", "b", "x"), false},
            {Set.of("a"), Set.of(), false},
            {Set.of(), Set.of("a"), false},
        };
    }

    @Test(dataProvider = "answers")
    public void listThatLacksMoreThanHalfOfTheKnownEndpointsIsImplausible(
            Set<String> known, Set<String> listed, boolean implausible) {
        ListPlausibilityCheck check = new ListPlausibilityCheck();
        check.onFullList(known);
        assertEquals(check.isImplausible(listed), implausible);
    }

    @Test
    public void changesUpdateTheKnownEndpoints() {
        ListPlausibilityCheck check = new ListPlausibilityCheck();
        check.onFullList(Set.of("a", "b", "c", "d"));
        check.onChange("a", false);
        check.onChange("b", false);
        check.onChange("e", true);
        assertEquals(check.isImplausible(Set.of("c", "d")), false);
        assertEquals(check.isImplausible(Set.of("a", "b")), true);
    }
}
