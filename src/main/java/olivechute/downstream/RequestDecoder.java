package olivechute.downstream;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import olivechute.http.HttpRequest;
import olivechute.loadbalancing.Idempotency;
import olivechute.loadbalancing.LoadBalancerSettings;
import olivechute.loadbalancing.Request;
import olivechute.loadbalancing.RequestClass;

/** Decodes a client's HTTP message into the request for the load balancer. Faults become a {@link LocalReply}. */
final class RequestDecoder {
    private static final int MAX_ID_LENGTH = 128;
    private static final int MAX_KEY_LENGTH = 256;
    private static final int MAX_REMAINING_DIGITS = 12;
    private static final double MAX_LABEL_VALUE = 1_000_000; // of cost in seconds, slots and memory

    private static final Set<String> USED_LABELS = Set.of("cost", "slots", "memory");

    private final List<RequestClass> classes;

    RequestDecoder(LoadBalancerSettings settings) {
        classes = settings.classes();
    }

    Request decode(HttpRequest message) throws LocalReply {
        RequestClass requestClass = findClass(message.target());
        if (requestClass == null) {
            throw new LocalReply(404, "no such class");
        }
        LocalReply.requireMethod(message, "POST");
        String id = singleHeader(message, "X-Txn");
        if (id == null || !isValidId(id)) {
            throw new LocalReply(400, "X-Txn: missing or not an id");
        }
        String idempotencyKey = singleHeader(message, "Idempotency-Key");
        if (idempotencyKey == null ? requestClass.idempotency() == Idempotency.KEYED : !isValidKey(idempotencyKey)) {
            throw new LocalReply(400, "Idempotency-Key: missing or not a key");
        }
        Map<String, Double> labels = parseLabels(message.headers().get("X-Labels"));
        double estimateUs = parseEstimateUs(message.headers().get("X-Estimate"), requestClass.deadlineUs());
        return new Request(
                id,
                requestClass.name(),
                message.headers().get("X-Org"),
                message.queryParameter("user"),
                parseRemainingUs(message.headers().get("X-Remaining"), requestClass.deadlineUs()),
                labels.containsKey("cost") ? labelValue(labels, "cost", Double.NaN) * 1e6 : estimateUs,
                (int) labelValue(labels, "slots", 1),
                labelValue(labels, "memory", Double.NaN),
                "1".equals(message.headers().get("X-Resent")));
    }

    /** The class that the first segment of the path names, null for none. */
    private RequestClass findClass(String target) {
        int end = 1;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        for (RequestClass requestClass : classes) {
            if (requestClass.name().length() == end - 1 && target.startsWith(requestClass.name(), 1)) {
                return requestClass;
            }
        }
        return null;
    }

    private static boolean isValidId(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (!((c >= 'a' && c <= 'z')
                    || (c >= '0' && c <= '9')
                    || (c >= 'A' && c <= 'Z')
                    || "._~-".indexOf(c) >= 0)) {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_ID_LENGTH;
    }

    private static boolean isValidKey(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '!' || text.charAt(i) > '~') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= MAX_KEY_LENGTH;
    }

    /**
     * The only value of a header that is forwarded upstream. With two values, the upstream server might use the other
     * one.
     */
    private static String singleHeader(HttpRequest message, String name) throws LocalReply {
        if (message.headers().hasSeveral(name)) {
            throw new LocalReply(400, name + ": more than one");
        }
        return message.headers().get(name);
    }

    /**
     * The remaining time of a request in microseconds, at most the deadline of its class, as the load balancer takes
     * the longest remaining time seen for that of a client's first attempt.
     */
    private static long parseRemainingUs(String text, long maxUs) throws LocalReply {
        if (text == null) {
            return maxUs;
        }
        int digits = text.length() - 1;
        long number = 0;
        for (int i = 0; i < digits; i++) {
            char c = text.charAt(i);
            number = c >= '0' && c <= '9' && number >= 0 ? 10 * number + c - '0' : -1;
        }
        boolean inMillis = digits > 0 && text.charAt(digits) == 'm';
        if (digits < 1 || digits > MAX_REMAINING_DIGITS || number < 0 || (!inMillis && text.charAt(digits) != 'u')) {
            throw new LocalReply(400, "X-Remaining: must be a number and m or u");
        }
        return Math.min(number * (inMillis ? 1000 : 1), maxUs);
    }

    /**
     * The client's estimate of the work in microseconds, which may have decimals; NaN without one. Limited to the
     * deadline of the class, as longer work could not be served anyway.
     */
    private static double parseEstimateUs(String text, long maxUs) throws LocalReply {
        if (text == null) {
            return Double.NaN;
        }
        int digits = 0;
        int decimalPoints = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            digits += c >= '0' && c <= '9' ? 1 : 0;
            decimalPoints += c == '.' ? 1 : 0;
        }
        if (digits == 0 || decimalPoints > 1 || digits + decimalPoints < text.length()) {
            throw new LocalReply(400, "X-Estimate: must be a number of microseconds");
        }
        return Math.min(Double.parseDouble(text), (double) maxUs);
    }

    private static double labelValue(Map<String, Double> labels, String name, double defaultValue) throws LocalReply {
        if (labels.isEmpty()) {
            return defaultValue;
        }
        double value = labels.getOrDefault(name, defaultValue);
        if (labels.containsKey(name) && !(value >= 0 && value <= MAX_LABEL_VALUE)) {
            throw new LocalReply(400, "X-Labels: " + name + " must be from 0 to " + (long) MAX_LABEL_VALUE);
        }
        return value;
    }

    /** The labels that are used. All are checked, but only one at a time is held, as a head may have thousands. */
    private static Map<String, Double> parseLabels(String text) throws LocalReply {
        if (text == null || text.isBlank()) {
            return Map.of();
        }
        Map<String, Double> labels = new HashMap<>();
        int end = text.length();
        while (end > 0 && text.charAt(end - 1) == ',') {
            end--;
        }
        for (int start = 0; start < end; ) {
            int comma = text.indexOf(',', start);
            int pairEnd = comma < 0 ? end : Math.min(comma, end);
            parseLabel(text.substring(start, pairEnd).strip(), labels);
            start = pairEnd + 1;
        }
        return labels;
    }

    private static void parseLabel(String pair, Map<String, Double> labels) throws LocalReply {
        int separator = pair.indexOf('=');
        if (separator < 0) {
            throw new LocalReply(400, "X-Labels: must be name=number pairs");
        }
        try {
            String name = pair.substring(0, separator);
            double value = Double.parseDouble(pair.substring(separator + 1));
            if (USED_LABELS.contains(name)) {
                labels.put(name, value);
            }
        } catch (NumberFormatException e) {
            throw new LocalReply(400, "X-Labels: must be name=number pairs");
        }
    }
}
