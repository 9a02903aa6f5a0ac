Feature: The answer is lost after the write
  The table takes a write and its answer never arrives, so that the instance cannot tell whether it happened.

  Scenario: The claim's answer is lost
    Given the next answer of the table will be lost
    When Ayse asks entry-1 to confirm booking "slot-17"
    And 10 s pass
    Then Ayse has the whole answer
    And booking "slot-17" ran 1 time
    And all promises hold

  Scenario: The claim's answer is lost and the caller asks elsewhere at once
    Given the next answer of the table will be lost
    When Ayse asks entry-1 to confirm booking "slot-17"
    And 60 ms pass
    And Mehmet asks entry-2 to confirm booking "slot-17"
    And 10 s pass
    Then Ayse has the whole answer
    And Mehmet is told error 4007
    When Zeynep asks entry-2 to confirm booking "slot-17"
    And 2 s pass
    Then Zeynep has the whole answer
    And booking "slot-17" ran 1 time
    And all promises hold
