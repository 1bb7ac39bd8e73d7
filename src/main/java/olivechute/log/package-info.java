/** The log: how it is written, and the fields that lines about a stream carry. */
package olivechute.log;
