package olivechute.identity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.HexFormat;
import java.util.List;
import olivechute.identity.IdentityRejectedException.Reason;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The URIs of an extension are read in number and text as they stand there; what cannot be parsed is rejected. */
public class UriNamesTest {
    private static byte[] bytes(String hex) {
        return HexFormat.of().parseHex(hex.replace(" ", ""));
    }

    @Test
    public void readsUrisAmongOtherNames() throws Exception {
        assertEquals(UriNames.parse(bytes("04 02 30 00")), List.of());
        assertEquals(UriNames.parse(bytes("04 0b 30 09 82 01 61 86 01 62 86 01 63")), List.of("b", "c"));
        String uri = "61".repeat(200);
        assertEquals(
                UriNames.parse(bytes("04 81 ce 30 81 cb 86 81 c8" + uri)), List.of(new String(bytes(uri), "US-ASCII")));
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {""},
            {"04"},
            {"04 01 30"},
            {"04 02 31 00"}, // a set
            {"04 05 30 03 86 02 61"}, // a name beyond the end
            {"04 06 30 03 86 01 61 00"}, // a byte after the names
            {"04 05 30 03 a6 01 61"}, // a constructed string
            {"04 05 30 03 86 01 e9"}, // not ASCII
            {"04 05 30 03 89 01 61"}, // no such name
            {"04 05 30 03 16 01 61"}, // no name's tag
            {"04 06 30 04 86 81 01 61"}, // a length that is not the shortest
            {"04 07 30 05 86 80 61 00 00"}, // of indefinite length
            {"04 09 30 07 86 84 00 00 00 01 61"},
        };
    }

    @Test(dataProvider = "malformed")
    public void rejectsWhatCannotBeParsed(String hex) {
        assertEquals(
                expectThrows(IdentityRejectedException.class, () -> UriNames.parse(bytes(hex)))
                        .reason(),
                Reason.UNREADABLE);
    }
}
