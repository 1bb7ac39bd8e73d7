package olivechute.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parses the limit on file descriptors from the system's table of limits. */
public class FileDescriptorsTest {
    @DataProvider
    public Object[][] tables() {
        String head = "Limit                     Soft Limit           Hard Limit           Units     \n";
        return new Object[][] {
            {
                head + "Max processes             63432                63432                processes \n"
                        + "Max open files            200                  4096                 files     \n",
                200
            },
            {
                head + "Max open files            unlimited            unlimited            files     \n",
                Integer.MAX_VALUE
            },
            {
                head + "Max open files            9000000000           9000000000           files     \n",
                Integer.MAX_VALUE
            },
            {head, Integer.MAX_VALUE},
            {"", Integer.MAX_VALUE},
        };
    }

    @Test(dataProvider = "tables")
    public void theLimitInForceIsTheSoftOne(String table, int limit) {
        assertEquals(FileDescriptors.limit(table), limit);
    }

    @Test
    public void thisProcessHasALimit() {
        assertTrue(FileDescriptors.limit() > 0);
    }
}
