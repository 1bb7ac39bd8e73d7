/** Logging: the JSON log format and the fields of log lines about a request. */
package olivechute.log;
