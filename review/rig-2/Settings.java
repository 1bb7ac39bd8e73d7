/** Configurations like those of a small deployment: the figures of the first deployment's site. */
final class Settings {
    private Settings() {}

    static String dala(int fleetSize, String more) {
        return """
            {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "settings": {
              "az": "almaty-1", "fleet_size": FLEET, "discovery": "subscribe", "kinds": ["k3-16"],
              "accounts": [{"name": "steppe-aid", "share": 1.0, "quota_per_s": 200}],
              "ceilings": {"conn_idle": 5.0, "dial_timeout": 0.25, "max_retry_after": 2.0, "try_limit": 3, "cancel": true},
              "clients": {"marks_retry": true},
              "domain": {"class_stretch": [1.75, 2.5], "report_x0": "free slots", "tells_start": true, "progress": 1.0},
              "over_share_worth": 0.1,
              "profiles": [
               {"name": "verify", "credit": 2, "deadline": 5, "goal_time": 0.15, "late_share": 0.2, "effect": "retryable",
                "group": "all", "window": 5},
               {"name": "sign", "credit": 8, "deadline": 5, "goal_time": 0.15, "late_share": 0.2, "effect": "dedup",
                "group": "all", "window": 7.5}],
              "report": {"fields": ["x0"], "via": "inline"},
              "rules": {"answer_slack": 0.008, "ask_every": 10.0, "drain_grace": 0.5, "fall_multiple": 3.0, "overload_for": 1.0,
                "ramp_time": 8.9, "start_capacity": 0.3}}MORE}
            """.replace("FLEET", String.valueOf(fleetSize)).replace("MORE", more);
    }
}
