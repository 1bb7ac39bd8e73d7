package olivechute.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Timers fire never early and at most one tick late, also after a full revolution of the wheel. */
public class TimerWheelTest {
    @Test
    public void timersFireInTheirTickAndOnlyOnce() {
        long nowUs = 1_000_000_123L;
        TimerWheel wheel = new TimerWheel(4000, nowUs);
        long startUs = nowUs;
        List<String> fired = new ArrayList<>();
        for (long delayUs : new long[] {0, 1, 3999, 4000, 50_000, 4_096_000, 9_000_000}) {
            wheel.schedule(startUs + delayUs, () -> fired.add(String.valueOf(delayUs)));
        }
        TimerWheel.Timer cancelled = wheel.schedule(startUs + 60_000, () -> fired.add("cancelled"));
        wheel.schedule(startUs + 50_000, cancelled::cancel);
        wheel.schedule(startUs + 20_000, () -> wheel.schedule(startUs + 20_000, () -> fired.add("again")));
        while (nowUs < startUs + 10_000_000) {
            int firedBefore = fired.size();
            nowUs += Math.max(1, wheel.timeToNextTimerUs(nowUs));
            wheel.fireUntil(nowUs);
            for (String name : fired.subList(firedBefore, fired.size())) {
                long lateUs = name.equals("again") ? 0 : nowUs - startUs - Long.parseLong(name);
                assertTrue(lateUs >= 0 && lateUs <= 4000, name + " fired " + lateUs + " us late");
            }
        }
        assertEquals(fired, List.of("0", "1", "3999", "4000", "again", "50000", "4096000", "9000000"));
    }

    @Test
    public void failingTimerDoesNotStopOthersInTheSameTick() {
        TimerWheel wheel = new TimerWheel(4000, 0);
        List<String> fired = new ArrayList<>();
        wheel.schedule(4000, () -> {
            throw new IllegalStateException("faulty");
        });
        wheel.schedule(4000, () -> {
            throw new StackOverflowError("faulty");
        });
        wheel.schedule(4000, () -> fired.add("deadline"));
        wheel.schedule(8000, () -> fired.add("later"));
        wheel.fireUntil(8000);
        assertEquals(fired, List.of("deadline", "later"));
    }
}
